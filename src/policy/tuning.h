// Constants of the admission controller: ratios, counts and durations, none specific to one site.
// Some are parameters of the CoreSync paper: D_t is the delay target, D_drop the drop bound, and alpha and
// beta are the steps of the credit pool. The others belong to this controller.
#pragma once

#include <chrono>
#include <cstddef>

#include "granitegap/policy.h"

namespace granitegap::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// ---- Delay targets ----
constexpr double kDelayTargetRuns = 2.5;      // D_t, in median run times
constexpr double kDropRatio = 2.0;            // D_drop / D_t, as in the paper
constexpr double kMaxDelayTargetShare = 0.3;  // maximum part of the objective for D_t; leaves time to run
constexpr double kInitialRunShare = 0.1;  // run time as part of the objective, without sample or cost hint

// ---- The credit pool ----
constexpr double kBeta = 0.02;             // the paper's decrease per update
constexpr double kAlphaShare = 0.001;      // the paper's alpha, as a part of the pool
constexpr double kMaxDecrease = 0.5;       // the paper's bound on the decrease in one update
constexpr double kOvercommit = 2.0;        // credit per caller over the most requests that one has open
constexpr double kIdleGrowthFactor = 0.1;  // scales the pool's growth while cores idle with requests queued
constexpr double kBusyUtilization = 0.92;  // core utilization below which cores count as idle
constexpr double kMinCreditChange = 0.02;  // relative change from which a new credit is advertised
constexpr int kInactiveCallerTtls = 5;     // credit lifetimes after which an unseen caller is removed
constexpr Duration kMinInactiveTime = seconds(5);  // minimum time until an unseen caller is removed
constexpr int kUpdateTicks = 4;                    // ticks of the host between updates
constexpr Duration kMinUpdateInterval = milliseconds(20);
constexpr TimerToken kUpdateToken{0};

// ---- Overload ----
constexpr double kPersistentDecreaseRate = 0.15;    // part of updates with a decrease, in persistent overload
constexpr double kPersistentWindowSeconds = 3.0;    // averaging window of that part
constexpr Duration kOverloadLogDelay = seconds(2);  // how long a change of overload must last to be logged
constexpr double kMinAdmittedFraction = 0.1;   // lower bound of the admitted fraction, whatever the waits
constexpr double kAdmittedFractionStep = 0.3;  // growth of the admitted fraction per second
constexpr double kUnreadWindowSeconds = 0.5;   // smoothing window of unread waits
constexpr std::size_t kWeightSamples = 64;     // recent arrivals that a request's weight is ranked among
constexpr double kRunTimeMargin = 1.5;         // an arrival's wait plus this many runs must fit its objective

// ---- Tenant quotas ----
constexpr double kOverQuotaRatio = 0.5;    // delay ratio from which requests over their quota are rejected
constexpr double kMinBurst = 10;           // least capacity of a token bucket, in requests
constexpr double kBurstSeconds = 2;        // capacity of a token bucket, in seconds of its quota
constexpr double kOverQuotaWeight = 0.05;  // default fraction of the weight for requests over their quota

// ---- The queue and the run limit ----
constexpr double kRunLimitStep = 0.05;   // growth of the run limit per update, as a part of the cores
constexpr double kRunLimitShare = 0.6;   // maximum run limit, as a part of the survivable concurrency
constexpr double kStartedShare = 0.85;   // maximum of all started requests, those in calls included, likewise
constexpr double kMemoryShare = 0.97;    // usable part of the memory; the rest covers rounding
constexpr double kInitialUrgency = 0.3;  // a request's urgency in the queue before it has waited
constexpr double kLongRunRatio = 2.0;    // length over expected length from which a run may be paused
constexpr double kPausePriorityRatio = 2.0;  // minimum priority ratio for pausing a run for another request
constexpr std::size_t kRunSamples = 21;      // runs that a class's median is taken over

// ---- Core speed ----
constexpr double kSmoothing = 0.1;         // weight of the newest sample in a mean
constexpr double kSlowRunTimeRatio = 2.5;  // a server is slow at this many times its best run time ratio for
                                           // the same concurrency
constexpr std::size_t kMinRunTimeRatioSamples = 30;  // runs before the best run time ratio is valid
constexpr Duration kUnhealthyDuration = seconds(6);  // how long a slow server stays off the endpoint list

// ---- Drain ----
constexpr Duration kDrainCreditLead = milliseconds(300);  // time before the end of the grace without credit

// ---- Calls to the dependency ----
constexpr double kCallQuotaShare = 0.9;  // usable part of the quota, on the mean of its window
constexpr double kCallSlowdown = 3.0;    // a call is slow at this many times the best mean duration
constexpr int kMinCallSamples = 8;       // calls before their mean duration is valid
constexpr Duration kMinExpectedCallTime = milliseconds(100);  // lower bound of a call's expected duration
constexpr Duration kInitialCallWindow = seconds(1);  // part of the window granted to a new instance at once
constexpr int kMaxCallAttempts = 3;                  // for a call that may have run and may be retried
constexpr int kMaxBackoffDoublings = 5;

}  // namespace granitegap::policy
