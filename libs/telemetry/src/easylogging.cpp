// easylogging++ is packaged as a source file that the user compiles.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
