// The operators' command line.
#pragma once

#include "main/teasel_http.h"

#include <ostream>
#include <string>
#include <vector>

namespace teasel {

// Runs one command and gives the exit code: 0 accepted, 2 pending, 3 refused,
// 4 no server answered, 64 wrong usage. `arguments` leaves the program's name out.
int runTool(std::vector<std::string> arguments, HttpTransport&, std::ostream& out, std::ostream& err);

} // namespace teasel
