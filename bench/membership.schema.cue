// What a benchmark of membership does to a fleet of real processes; docs/membership.md.
#Scenario: {
	name:    strings.MinRunes(1) & strings.MaxRunes(64)
	seconds: duration & >=1s & <=600s | *30s
	// kill: SIGKILL of `count`; pause: `count` at any time are stopped, each for `lasts`; cut_halves, cut_pair (one
	// way), cut_output (of `count`, to all): mended after `lasts`.
	deed:  "kill" | "pause" | "cut_halves" | "cut_pair" | "cut_output" | *"none"
	at:    duration & >=0s & <=600s | *3s
	lasts: duration & >=0s & <=600s | *0s
	count: int & >=1 & <=200 | *1
	// On every pair, both ways.
	loss:   >=0 & <=1 | *0
	delay:  duration & >=0ms & <=10s | *0ms
	spread: >=0 & <=3 | *0
}
