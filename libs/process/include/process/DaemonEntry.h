// What a daemon's module exports for its launcher (launcher/Launcher.cpp).
//
//     JJ_DAEMON_ENTRY(int argc, char** argv) { ... }     // in place of main()
#pragma once

namespace jj {

using DaemonEntry = int(int argc, char** argv);

inline constexpr const char* daemonEntryName = "jjDaemonEntry";

} // namespace jj

#define JJ_DAEMON_ENTRY extern "C" __attribute__((visibility("default"))) int jjDaemonEntry
