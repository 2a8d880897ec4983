#include "fake_node.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace azureladder::cli {

temporary_file::temporary_file(const std::string& text)
{
    std::string path = testing::TempDir() + "azureladder_cli_XXXXXX";
    const int descriptor = mkstemp(path.data());
    if (descriptor >= 0)
        close(descriptor);
    m_path = path;
    std::ofstream(m_path, std::ios::binary) << text;
}

temporary_file::~temporary_file()
{
    std::remove(m_path.c_str());
}

} // namespace azureladder::cli
