#include "recordfile.h"

#include <iomanip>

namespace Review {

RecordFile::RecordFile(const std::string &file) : output(file, std::ios::app)
{
}

void RecordFile::write(std::string_view who, std::string_view text)
{
    this->output << std::fixed << std::setprecision(4) << this->now() << ' ' << who << ": " << text << '\n';
    this->output.flush();
}

double RecordFile::now() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - this->start).count();
}

} // namespace Review
