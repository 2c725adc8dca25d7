// teasel: the operators' command line tool.
#include "main/teasel_tool.h"

#include <iostream>

int main(int argc, char** argv)
{
    teasel::CurlTransport transport;
    return teasel::runTool({ argv + 1, argv + argc }, transport, std::cout, std::cerr);
}
