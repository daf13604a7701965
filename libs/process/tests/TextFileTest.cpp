#include "process/TextFile.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>

// Guards against an absent, empty or unreadable file that is taken for settings without a key, or that throws.
TEST_CASE("process: a file that is absent, empty or a folder is an error, and a text is read whole")
{
    CHECK(jj::readTextFile("no-such-file").error() == std::errc::no_such_file_or_directory);
    CHECK(jj::readTextFile(".").error());
    const std::string path = "text-file-test.txt";
    std::ofstream(path).close();
    CHECK(jj::readTextFile(path).error());
    const std::string text(10000, 'x');
    std::ofstream(path) << text;
    CHECK(jj::readTextFile(path).value() == text);
    std::remove(path.c_str());
}
