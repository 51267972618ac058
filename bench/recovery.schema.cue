// What a benchmark of coming back does to a fleet of real processes; docs/recovery.md.
#Scenario: {
	name: strings.MinRunes(1) & strings.MaxRunes(64)
	// Before the restart, and watched after it.
	before: duration & >=4s & <=600s | *10s
	after:  duration & >=4s & <=600s | *40s
	// Killed at once and started at once; their stored state wiped; their machines' kernels cold as well.
	share:       >=0 & <=1 | *0.8
	wipe:        bool | *false
	kernels_too: bool | *true
	// First tries, of what all warm cores can do; core time of each.
	load: >0 & <=2 | *0.8
	cost: duration & >=1ms & <=1s | *50ms
	// A cold core's speed, how long it warms up, and the runs a core past which they slow each other down.
	cold_from: >0 & <=1 | *0.2
	warm_up:   duration & >=0s & <=600s | *15s
	crowd:     >=1 & <=1000 | *8
	// Where `things` is not 0, route profiles take parts from two services below, about so many different things, the
	// first ones most often; each service has so many answers in the making at once and no more, and the rest wait.
	things:     int & >=0 & <=100000000 | *0
	capacity:   int & >=1 & <=10000 | *8
	latency:    duration & >=1ms & <=10s | *20ms
	fresh_for:  duration & >=0s & <=1h | *10s
	stale_for:  duration & >=0s & <=1h | *60s
	fleet_open: int & >=0 & <=10000 | *24
	// How long the processes were away: their snapshots are so much older.
	away: duration & >=0s & <=600s | *0s
	// Weights of the callers' habits.
	heeding:  >=0 | *1
	tireless: >=0 | *1
	sticky:   >=0 | *1
}
