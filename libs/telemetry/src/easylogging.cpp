// easylogging++ is distributed as a source file that each user compiles.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
