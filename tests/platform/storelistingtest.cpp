#include "storelisting.h"

#include <gtest/gtest.h>

#include <string>

namespace Jujubekeel {

namespace {

StoreObject object(const std::string &name, std::size_t size)
{
    return StoreObject{.name = name, .revision = 1, .content = std::string(size, 'x')};
}

// Guards against a list that grows with every page, and against large objects of other writers that displace the small
// ones of the fleet.
TEST(StoreListing, LargestContentsAreLeftOut)
{
    StoreListing listing({.capacity = 2000});
    EXPECT_TRUE(listing.add({.objects = {object("a", 100), object("b", 1200)}, .version = {.revision = 7}}));
    EXPECT_TRUE(listing.add({.objects = {object("c", 900), object("d", 100)}, .version = {.revision = 9}}));
    EXPECT_EQ(listing.omitted(), 1U);
    EXPECT_LE(listing.heldBytes(), 2000U);
    const StorePage page = listing.take();
    EXPECT_EQ(page.version.revision, 7U);
    ASSERT_EQ(page.objects.size(), 4U);
    EXPECT_TRUE(page.objects[1].content.empty());
    EXPECT_LT(page.objects[1].content.capacity(), 100U);
    EXPECT_EQ(page.objects[2].content.size(), 900U);
    EXPECT_EQ(page.objects[3].content.size(), 100U);
}

// Guards against a configuration that is left out because it is larger than what others have written beside it.
TEST(StoreListing, OnlyTheContentOfTheNamedObjectIsKept)
{
    StoreListing listing({.capacity = 2000, .onlyContentOf = "main"});
    EXPECT_TRUE(listing.add({.objects = {object("a", 900), object("main", 1000), object("z", 900)}}));
    EXPECT_EQ(listing.omitted(), 0U);
    EXPECT_EQ(listing.collected().objects[1].content.size(), 1000U);
}

// Guards against names and descriptions without end, which cannot be left out.
TEST(StoreListing, NamesAboveTheCapacityAreRefused)
{
    StoreListing names({.capacity = 2000});
    EXPECT_FALSE(names.add({.objects = {object(std::string(2000, 'n'), 1)}}));
    StoreListing descriptions({.capacity = 2000});
    EXPECT_FALSE(descriptions.add({.unreadable = {std::string(2000, 'd')}}));
}

// Guards against descriptions of unreadable objects that take far more memory than the objects.
TEST(StoreListing, ManyUnreadableObjectsAreOnlyCounted)
{
    std::string body = R"({"items":[1)";
    for (int index = 1; index < 150'000; ++index)
        body += ",1";
    FailureReason reason;
    const auto page = decodeStorePage(body + R"(],"CurrentRev":4})", reason);
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->unreadable.size(), 101U);
    EXPECT_EQ(page->unreadable.back(), "149900 further objects");
}

} // namespace

} // namespace Jujubekeel
