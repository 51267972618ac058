// What a stand-in network does to datagrams: docs/membership.md. All rules that hold for a pair at a moment apply.

#Rule: {
	// Members' names; an empty list: all. Rules are one way unless both is set.
	from: list.MaxItems(10000) & [...string]
	to:   list.MaxItems(10000) & [...string]
	both: bool | *false
	// From the start of the play; 0s as the end: for ever.
	begins: duration & >=0s & <=24h | *0s
	ends:   duration & >=0s & <=24h | *0s
	cut:    bool | *false
	// Independent loss; and in bursts, by two states (Gilbert 1960): mean lengths of each, and the loss in bad ones.
	loss:       >=0 & <=1 | *0
	burst_loss: >=0 & <=1 | *0
	good_for:   duration & >=1ms & <=1h | *10s
	bad_for:    duration & >=1ms & <=1h | *1s
	// One way, and its distribution; spread: of a lognormal sigma, of an even one the half-width as a share.
	delay:  duration & >=0ms & <=10m | *0ms
	shape:  "fixed" | "even" | "exponential" | *"lognormal"
	spread: >=0 & <=3 | *0
	// Shares of datagrams: held back so long that later ones pass, sent twice, with bytes flipped.
	reorder:   >=0 & <=1 | *0
	hold:      duration & >=0ms & <=10m | *50ms
	duplicate: >=0 & <=1 | *0
	corrupt:   >=0 & <=1 | *0
	// Bytes a second of each pair, what is beyond a second's worth is lost; 0B: any.
	rate: size & >=0B & <=1GiB | *0B
}

#Network: {
	rules: list.MaxItems(1000) & [...#Rule]
}
