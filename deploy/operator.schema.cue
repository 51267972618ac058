// What an operator's file may declare, in its own form; docs/operators-file.md explains it. Built into the
// program: `granitegap check FILE` holds a file against it.

#Dependency: {
	// What stands in Host. Nothing is looked up.
	name: strings.MinRunes(1) & strings.MaxRunes(253)
	// Numeric addresses with ports: "127.0.0.1:9001", "[::1]:9001".
	endpoints: list.MinItems(1) & list.MaxItems(64) & [...string]

	// A try may take timeout_factor times the 99th centile of recent answers, between these two, and never more
	// than the time left.
	timeout_least:  duration & >=1ms & <=60s | *10ms
	timeout_most:   duration & >=1ms & <=60s | *1s
	timeout_factor: >=1 & <=20 | *3

	// Tries of one call, and what pays for those beyond the first: a share of recent successes.
	most_tries:       int & >=1 & <=4 | *3
	retry_share:      >=0 & <=1 | *0.1
	retry_burst:      >=0 & <=1000 | *10
	retry_pause:      duration & >=1ms & <=10s | *10ms
	retry_pause_most: duration & >=1ms & <=60s | *250ms
	// The quantile of recent answers after which a second try starts; 0: never.
	hedge_after: >=0 & <1 | *0.95

	// Bounds of the concurrency limit, and of the calls that wait for it.
	least_open:   int & >=1 & <=1024 | *2
	most_open:    int & >=1 & <=1024 | *64
	// Calls open at once of the whole fleet together, shared evenly over the members that are there (membership has
	// to be declared); 0: no such bound.
	fleet_open: int & >=0 & <=1000000 | *0
	// One member of the fleet asks for a path and tells the others, for parts that may be kept (fresh_for; membership
	// has to be declared).
	fleet_fill: bool | *false
	most_waiting: int & >=0 & <=4096 | *128

	// Endpoints that fail in a row are out for a while, longer each time; this share of them at most.
	most_ejected: >=0 & <=1 | *0.5
	eject_for:    duration & >=10ms & <=60s | *500ms
	eject_most:   duration & >=10ms & <=600s | *30s
	slow_start:   duration & >=0ms & <=60s | *2s

	// While all of it is out: the pause between probes, growing.
	probe_every: duration & >=10ms & <=60s | *100ms
	probe_most:  duration & >=10ms & <=60s | *1s

	// Bounds of an answer, of silence within it, and of the connections kept.
	most_answer: size & >=1B & <=128KiB | *64KiB
	most_header: size & >=256B & <=64KiB | *8KiB
	quiet_most:  duration & >=1ms & <=60s | *1s
	idle_most:   duration & >=0ms & <=600s | *20s
	most_idle:   int & >=0 & <=256 | *16
}

#Part: {
	name: strings.MinRunes(1) & strings.MaxRunes(64)
	// The name of a dependency above.
	from: strings.MinRunes(1)
	// May hold {obj}, {body}, {class} and, with needs, {needed}.
	path: strings.MinRunes(1) & strings.MaxRunes(1024)
	// A request whose required part can't be had is failed before it takes core time.
	required: bool | *false
	// The name of an earlier part of the same gather.
	needs?: strings.MinRunes(1)
	// Of the gather's budget; 0ms: all of it.
	within: duration & >=0ms & <=60s | *0ms
	// Ages up to which a kept answer is as good as new, and better than none.
	fresh_for: duration & >=0ms & <=24h | *0ms
	stale_for: duration & >=0ms & <=168h | *0ms
	default?:  strings.MaxRunes(65536)
}

#Gather: {
	// A class of the platform's settings.
	class:  strings.MinRunes(1)
	budget: duration & >=1ms & <=60s | *400ms
	parts:  list.MinItems(1) & list.MaxItems(32) & [...#Part]
}

#Path: {
	bind:       strings.MinRunes(1)
	advertise?: strings.MinRunes(1)
}

// Who else of the fleet is there: docs/membership-operators.md.
#Membership: {
	// Only members of one cluster hear each other.
	cluster: strings.MinRunes(1) & strings.MaxRunes(64)
	// The UDP address to listen on, and the one that others are told, where that differs.
	bind:       strings.MinRunes(1)
	advertise?: strings.MinRunes(1)
	// Another way to reach this process, as over other cables or by IPv6: asked by where the first one is late.
	second?: #Path
	// Members to begin with: numeric addresses, nothing is looked up. Its own may be among them.
	seeds: list.MaxItems(64) & [...string]
	// Machines that fail together share a zone.
	zone: strings.MaxRunes(32) | *""

	// One probe of the round each; most other times are multiples of it.
	period: duration & >=20ms & <=60s | *500ms
	// A probe counts as late no sooner than this, however quick its peer has been.
	late_least: duration & >=1ms & <=10s | *20ms
	// Members asked to probe for one that did not answer.
	indirect: int & >=1 & <=10 | *3
	// Least time from suspect to dead: so many periods times the decimal logarithm of the fleet's size. And how
	// many times that while nobody confirms, and how many confirmations bring it down.
	suspicion:      >=1 & <=20 | *2
	suspicion_most: >=1 & <=20 | *5
	confirmations:  int & >=1 & <=5 | *3
	// How often an update is sent on: so many times the decimal logarithm of the fleet's size.
	spread: int & >=1 & <=10 | *4
	// This part of the fleet silent at once makes the view uncertain: nobody is removed.
	mass_share: >=0.05 & <=1 | *0.3
	// How long a majority must hold a member dead until the fleet counts as smaller; until it is forgotten; and
	// how late a datagram may come and still be believed, half of that at the most.
	shrink_after: duration & >=1s & <=24h | *30s
	forget_after: duration & >=2s & <=168h | *2m
	believe_for:  duration & >=1s & <=1h | *20s
	// The fleet's least size, where it is known: a part that starts alone then sees no majority. 0: not known.
	expected:     int & >=0 & <=100000 | *0
	members_most: int & >=2 & <=100000 | *10000
}

// How a process comes back after a restart: docs/recovery-operators.md.
#Recovery: {
	// What an earlier life ran is not known. wait_out: keyed requests are refused, with the time when to come again,
	// until each window in which it may have run one is over. go_on: they run at once, and one may run twice.
	after_lost_memory: "go_on" | *"wait_out"
	// A directory of this process alone, for what one life leaves to the next: it shortens the wait after an orderly
	// end on the same boot. While it can't be used keyed requests are refused.
	folder?: strings.MinRunes(1) & strings.MaxRunes(1024)
	// How often what was learned is written there.
	snapshot_every: duration & >=100ms & <=1h | *5s
	// A Unix clock that was set back lengthens the wait by as much; past this the earlier one is taken for wrong.
	clock_back_most: duration & >=0s & <=168h | *1h
	// Whether the way to full service is guided: what is offered grows with proven work, from `first` on and by
	// `growth` a step at the most, and until then nobody is taken who would wait longer for a core than `wait_bound`
	// times the target of its class.
	guided:     bool | *true
	first:      >=0.01 & <=1 | *0.1
	growth:     >=1.1 & <=4 | *1.5
	wait_bound: >=0.1 & <=20 | *1
	// How long nobody must have been turned away for load before the bound on waits is lifted.
	calm_for: duration & >=100ms & <=1h | *3s
	// How long others are asked for what they know, at the most.
	learn_most: duration & >=0s & <=30s | *800ms
	// A process that stood still for longer (SIGSTOP, a sleeping machine) takes what it remembers for old, and asks
	// again.
	pause_most: duration & >=500ms & <=1h | *5s
	// TCP, on the address of membership.bind: where this process tells others what it has learned. 0: any that is
	// free, which membership tells them.
	donate_port: int & >=0 & <=65535 | *0
}

#Operator: {
	version: 1
	dependencies: list.MaxItems(64) & [...#Dependency]
	gathers:      list.MaxItems(64) & [...#Gather]
	// Of kept answers.
	cache: size & >=0B & <=1GiB | *4MiB
	// How long a call that failed is not tried again for the same path.
	remember_failures: duration & >=0ms & <=60s | *200ms
	// Descriptors for calls, idle connections included; they come off the platform's limit.
	connections: int & >=1 & <=4096 | *128
	// TCP, on the address of membership.bind: where others ask for what this process fills. 0: any that is free, which
	// membership tells them. Opened only where a dependency has fleet_fill.
	fill_port: int & >=0 & <=65535 | *0
	membership?: #Membership
	recovery?:   #Recovery
}
