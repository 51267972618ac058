// Schema of operator files, in the language of the files; docs/operators-file.md describes it. It is built into the
// program: `granitegap check FILE` checks a file against it.

// A dependency: its endpoints and the limits of calls to it.
#Dependency: {
	// The host name sent in the Host header. It is not resolved.
	name: strings.MinRunes(1) & strings.MaxRunes(253)
	// Numeric addresses with ports: "127.0.0.1:9001", "[::1]:9001".
	endpoints: list.MinItems(1) & list.MaxItems(64) & [...string]

	// The time-out of an attempt is timeout_factor times the 99th percentile of recent response times, at least
	// timeout_least and at most timeout_most, and never more than the remaining time of the call.
	timeout_least:  duration & >=1ms & <=60s | *10ms
	timeout_most:   duration & >=1ms & <=60s | *1s
	timeout_factor: >=1 & <=20 | *3

	// Maximum number of attempts of one call. Attempts beyond the first, hedged requests included, use a retry
	// budget: each success adds retry_share, up to retry_burst. The backoff bound doubles from retry_pause up to
	// retry_pause_most.
	most_tries:       int & >=1 & <=4 | *3
	retry_share:      >=0 & <=1 | *0.1
	retry_burst:      >=0 & <=1000 | *10
	retry_pause:      duration & >=1ms & <=10s | *10ms
	retry_pause_most: duration & >=1ms & <=60s | *250ms
	// The quantile of recent response times after which a hedged request is sent; 0: never.
	hedge_after: >=0 & <1 | *0.95

	// Minimum and maximum of the concurrency limit; most_waiting (below) is the maximum number of calls that wait for it.
	least_open:   int & >=1 & <=1024 | *2
	most_open:    int & >=1 & <=1024 | *64
	// Maximum number of concurrent attempts of the complete fleet, divided evenly among its current members. Requires
	// the section membership. 0: no limit.
	fleet_open: int & >=0 & <=1000000 | *0
	// Whether one member of the fleet requests a path and shares the response with the others, for parts that may be
	// cached (fresh_for). Requires the section membership.
	fleet_fill: bool | *false
	most_waiting: int & >=0 & <=4096 | *128

	// Outlier ejection: an endpoint with consecutive failures is ejected for eject_for, longer with each ejection in a
	// row, up to eject_most. At most the share most_ejected of the endpoints is ejected. After its ejection an
	// endpoint regains its full load within slow_start.
	most_ejected: >=0 & <=1 | *0.5
	eject_for:    duration & >=10ms & <=60s | *500ms
	eject_most:   duration & >=10ms & <=600s | *30s
	slow_start:   duration & >=0ms & <=60s | *2s

	// While the dependency is unavailable: first and longest interval between its health checks.
	probe_every: duration & >=10ms & <=60s | *100ms
	probe_most:  duration & >=10ms & <=60s | *1s

	// Maximum size of a response and of its header, maximum time without data during a response, and maximum idle time
	// and number of idle connections.
	most_answer: size & >=1B & <=128KiB | *64KiB
	most_header: size & >=256B & <=64KiB | *8KiB
	quiet_most:  duration & >=1ms & <=60s | *1s
	idle_most:   duration & >=0ms & <=600s | *20s
	most_idle:   int & >=0 & <=256 | *16
}

// One part of a gather: a response that is fetched from a dependency.
#Part: {
	name: strings.MinRunes(1) & strings.MaxRunes(64)
	// The name of a declared dependency.
	from: strings.MinRunes(1)
	// May contain the placeholders {obj}, {body}, {class} and, if the part has needs, {needed}.
	path: strings.MinRunes(1) & strings.MaxRunes(1024)
	// A request whose required part is not available fails before it uses core time.
	required: bool | *false
	// The name of an earlier part of the same gather, whose response is inserted for {needed}.
	needs?: strings.MinRunes(1)
	// Maximum time for this part within the budget of the gather; 0ms: the complete budget.
	within: duration & >=0ms & <=60s | *0ms
	// Maximum age up to which a cached response counts as fresh, and up to which it is used, marked stale, if no fresh
	// response is available.
	fresh_for: duration & >=0ms & <=24h | *0ms
	stale_for: duration & >=0ms & <=168h | *0ms
	// The text that is used if no response is available.
	default?:  strings.MaxRunes(65536)
}

// The parts that requests of one class fetch.
#Gather: {
	// The name of a class in the platform's settings.
	class:  strings.MinRunes(1)
	// Maximum time for all parts together.
	budget: duration & >=1ms & <=60s | *400ms
	parts:  list.MinItems(1) & list.MaxItems(32) & [...#Part]
}

// A secondary network path to this process.
#Path: {
	bind:       strings.MinRunes(1)
	advertise?: strings.MinRunes(1)
}

// Membership of the fleet; docs/membership-operators.md describes it.
#Membership: {
	// Members accept messages only from members of the same cluster.
	cluster: strings.MinRunes(1) & strings.MaxRunes(64)
	// The UDP address to listen on, and the address advertised to other members if it differs.
	bind:       strings.MinRunes(1)
	advertise?: strings.MinRunes(1)
	// A secondary path to this process, such as another network or IPv6. Members probe it if the primary path is late.
	second?: #Path
	// Members that are contacted first: numeric addresses, which are not resolved. May include the own address.
	seeds: list.MaxItems(64) & [...string]
	// Machines that are likely to fail together have the same zone.
	zone: strings.MaxRunes(32) | *""

	// Interval between probes. Most other times are multiples of it.
	period: duration & >=20ms & <=60s | *500ms
	// Minimum time after which a probe counts as late, regardless of earlier response times.
	late_least: duration & >=1ms & <=10s | *20ms
	// Number of members that are requested to probe a member that did not answer (indirect pings).
	indirect: int & >=1 & <=10 | *3
	// Minimum suspicion time-out, in periods times the decimal logarithm of the fleet size; the factor by which it is
	// longer while no other member confirms the suspicion; and the number of confirmations that reduce it to the minimum.
	suspicion:      >=1 & <=20 | *2
	suspicion_most: >=1 & <=20 | *5
	confirmations:  int & >=1 & <=5 | *3
	// Number of times that an update is sent, as a multiple of the decimal logarithm of the fleet size.
	spread: int & >=1 & <=10 | *4
	// If this fraction of the fleet is silent at the same time, the view is uncertain and no member is removed.
	mass_share: >=0.05 & <=1 | *0.3
	// How long a majority must consider a member dead before the quorum shrinks (shrink_after) and before its tombstone
	// expires (forget_after); and the maximum age of an accepted datagram (believe_for), at most half of forget_after.
	shrink_after: duration & >=1s & <=24h | *30s
	forget_after: duration & >=2s & <=168h | *2m
	believe_for:  duration & >=1s & <=1h | *20s
	// Minimum size of the fleet: with it, a part of the fleet that starts alone does not have a majority. 0: unknown.
	expected:     int & >=0 & <=100000 | *0
	members_most: int & >=2 & <=100000 | *10000
}

// Recovery after a restart; docs/recovery-operators.md describes it.
#Recovery: {
	// After a restart it is unknown which requests the previous incarnation ran. wait_out: requests with idempotency keys
	// are rejected, with the time for a retry, until all windows in which it may have run them are over. go_on: they run
	// immediately, and a request may run twice.
	after_lost_memory: "go_on" | *"wait_out"
	// A directory used only by this process, for state that outlives a process. It shortens the quarantine after a clean
	// shutdown within the same boot of the machine. While it cannot be used, requests with idempotency keys are rejected.
	folder?: strings.MinRunes(1) & strings.MaxRunes(1024)
	// Interval between snapshots of the warm state in that directory.
	snapshot_every: duration & >=100ms & <=1h | *5s
	// A Unix clock that was set back prolongs the quarantine by the same amount. If it was set back by more than this, the
	// earlier time is considered wrong.
	clock_back_most: duration & >=0s & <=168h | *1h
	// Whether the ramp to full service is guided: the advertised share starts at `first`, grows with runs
	// that met their objective and is at most `growth` times the share that they verified. During the ramp, requests that
	// would wait longer for a core than `wait_bound` times the latency objective of their class are not admitted.
	guided:     bool | *true
	first:      >=0.01 & <=1 | *0.1
	growth:     >=1.1 & <=4 | *1.5
	wait_bound: >=0.1 & <=20 | *1
	// Time without rejections for load after which waits are no longer bounded.
	calm_for: duration & >=100ms & <=1h | *3s
	// Maximum duration of the state transfer from other members.
	learn_most: duration & >=0s & <=30s | *800ms
	// A process that was stopped for longer (SIGSTOP, a sleeping machine) considers its warm state outdated and requests
	// it again.
	pause_most: duration & >=500ms & <=1h | *5s
	// TCP port on the address of membership.bind where other members request the warm state of this process. 0: any free
	// port, which membership advertises.
	donate_port: int & >=0 & <=65535 | *0
}

// The complete file.
#Operator: {
	version: 1
	dependencies: list.MaxItems(64) & [...#Dependency]
	gathers:      list.MaxItems(64) & [...#Gather]
	// Maximum size of the cached responses.
	cache: size & >=0B & <=1GiB | *4MiB
	// Time after a failed call during which the same path is not requested again.
	remember_failures: duration & >=0ms & <=60s | *200ms
	// Descriptors for calls, idle connections included. They are subtracted from the platform's limit.
	connections: int & >=1 & <=4096 | *128
	// TCP port on the address of membership.bind where other members request cache fills. 0: any free port, which
	// membership advertises. Opened only if a dependency has fleet_fill.
	fill_port: int & >=0 & <=65535 | *0
	membership?: #Membership
	recovery?:   #Recovery
}
