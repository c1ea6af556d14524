#include "recorder.h"

#include <stdexcept>

namespace Review {

Recorder::Recorder(const std::string &path) : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr)
        throw std::runtime_error("cannot write " + path);
}

Recorder::~Recorder()
{
    std::fclose(this->file);
}

void Recorder::write(const std::string &who, const std::string &text)
{
    const std::scoped_lock lock(this->mutex);
    const std::chrono::duration<double, std::milli> since = std::chrono::steady_clock::now() - this->startedAt;
    std::fprintf(this->file, "%10.1f %-12s %s\n", since.count(), who.c_str(), text.c_str());
    std::fflush(this->file);
}

} // namespace Review
