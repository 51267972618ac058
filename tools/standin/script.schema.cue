// How a stand-in dependency behaves over time, and a scenario of two of them; docs/dependencies.md.

#Fault: {
	// error: 500; no_data: 404; busy: 503, with Retry-After where it is given; reset: the connection is reset before
	// an answer; hang: accepts and never answers; hang_body: stops in the middle of the body; trickle: a byte at a
	// time; too_long: a body without an end; garbage: not HTTP at all; close: answers, and closes without saying so.
	kind: "error" | "no_data" | "busy" | "reset" | "hang" | "hang_body" | "trickle" | "too_long" | "garbage" | "close"
	// Of the requests that this phase answers.
	share: >0 & <=1 | *1
	retry_after?: duration & >=1s & <=60s
}

#Phase: {
	// From the start; a phase holds until the next.
	from: duration & >=0s & <=24h | *0s
	// Of one endpoint only, counted from 0; the others go on as they were.
	endpoint?: int & >=0 & <64
	// Until the answer: its distribution, median and spread (of a lognormal: sigma; of an even one: the half-width
	// as a share of the median).
	shape:   "fixed" | "even" | "exponential" | *"lognormal"
	latency: duration & >=0ms & <=60s | *10ms
	spread:  >=0 & <=3 | *0.4
	// Slow recovery: the latency begins as so many times itself and falls evenly to once over this time.
	ramp:      duration & >=0s & <=60s | *0s
	ramp_from: >=1 & <=1000 | *1
	faults:    list.MaxItems(16) & [...#Fault]
	body:      size & >=0B & <=1MiB | *200B
	// Requests answered at once; more of them wait. 0: any number.
	capacity: int & >=0 & <=10000 | *0
}

#Script: {
	phases: list.MinItems(1) & list.MaxItems(64) & [...#Phase]
	// Flapping: the phases begin again after so long. 0s: never.
	repeat: duration & >=0s & <=24h | *0s
}

#Scenario: {
	name:       strings.MinRunes(1) & strings.MaxRunes(64)
	seconds:    duration & >=1s & <=600s | *13s
	fault_from: duration & >=0s & <=600s | *3s
	fault_to:   duration & >=0s & <=600s | *8s
	rate:       >=1 & <=5000 | *150 // requests a second, by chance
	cores:      int & >=1 & <=64 | *4
	// Of what route profiles and reports ask about: so many different keys, evenly.
	keys:      int & >=1 & <=100000000 | *1000000
	budget:    duration & >=1ms & <=60s | *400ms
	fresh_for: duration & >=0ms & <=1h | *0ms
	stale_for: duration & >=0ms & <=1h | *0ms
	endpoints: int & >=1 & <=16 | *2
	elevation: #Script
	names:     #Script
}
