// Tuned constants of the admission controller: ratios, counts and durations, none fitted to one site.
// The CoreSync paper names some of them (D_t, D_drop, alpha, beta); the rest are ours, each with its reason.
#pragma once

#include <chrono>
#include <cstddef>

#include "granitegap/policy.h"

namespace granitegap::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// ---- Tuned values: ratios and counts, none from one site ----
constexpr double kTargetRuns = 2.5;       // D_t in median run times
constexpr double kDropRatio = 2.0;        // D_drop / D_t, as in the paper
constexpr double kTargetAimShare = 0.3;   // D_t never over this part of the aim: it must leave time to run
constexpr double kGuessAimShare = 0.1;    // a run's length as part of its aim, before any sample or hint
constexpr double kBeta = 0.02;            // the paper's decrease per update
constexpr double kAlphaShare = 0.001;     // the paper's alpha, as a part of the pool
constexpr double kMaxDecrease = 0.5;      // the paper's bound on one decrease
constexpr double kOvercommit = 2.0;       // credit over what the busiest caller has in hand
constexpr double kIdleGrowth = 0.1;       // the pool's growth while cores idle with work held
constexpr double kBusyCores = 0.92;       // core use under which cores count as idle
constexpr double kLimitStep = 0.05;       // growth of the run limit per update, in cores
constexpr double kLimitCrowdShare = 0.6;  // the run limit's ceiling in survivable crowds
constexpr double kCrowdShare = 0.85;      // all begun runs, those at calls too, in survivable crowds
constexpr double kMemoryShare = 0.97;     // of the memory; the rest covers rounding
constexpr double kCallShare = 0.9;        // of the share of calls, on the mean of its window
constexpr double kCallSlowdown = 3.0;     // times its best at which a call counts as slow
constexpr int kCallSamples = 8;           // calls before their mean time means something
constexpr Duration kCallStay = milliseconds(100);  // least time a call is taken to stay
constexpr Duration kCallStart = seconds(1);        // of the window granted to a fresh instance at once
constexpr double kMinAdmitted = 0.1;               // of what arrives, however long the waits
constexpr double kAdmitStep = 0.3;                 // growth of the part admitted, per second
constexpr double kUnreadSeconds = 0.5;             // over which unread waits are smoothed
constexpr std::size_t kValues = 64;                // recent arrivals that a request's worth is ranked among
constexpr double kServeMargin = 1.5;        // an arrival's wait and this many times its run must fit its aim
constexpr double kOverSharePressure = 0.5;  // worst ratio from which work over a tenant's share is refused
constexpr double kShareSavings = 10;        // requests that a small share of a tenant saves up
constexpr double kFreshUrgency = 0.3;       // what a request counts for in the hold before it has waited
constexpr double kPauseRuns = 2.0;          // runs this many medians old may be paused for fresher work
constexpr double kPauseGain = 2.0;          // and only for work worth this much more
constexpr double kPaceGain = 0.1;           // weight of the newest run in the pace
constexpr double kPersistent = 0.15;  // part of recent updates that decreased, from which overload persists
constexpr double kPersistSeconds = 3.0;  // how recent
constexpr double kSlowed =
    2.5;  // times its best pace, for the crowd it has, at which a machine counts as slow
constexpr std::size_t kPaceRuns = 30;                // runs before a best pace means something
constexpr Duration kOffTheList = seconds(6);         // a slow machine's stay off it, before it tries again
constexpr Duration kDrainQuiet = milliseconds(300);  // before the grace ends, callers are sent away
constexpr int kUpdateTicks = 4;                      // ticks of the host between updates
constexpr Duration kRegimeLasts = seconds(2);        // before overload is logged as begun or over
constexpr int kCallTries = 3;         // tries of one call that may have had its effect, where it may repeat
constexpr std::size_t kSamples = 21;  // runs in a class's median
constexpr TimerToken kUpdateToken{0};

}  // namespace granitegap::policy
