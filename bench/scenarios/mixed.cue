// Faults of all kinds in small shares, one endpoint that flaps, and a recovery that is slow.
name: "mixed"
elevation: {phases: [
	{latency: 15ms, spread: 0.5},
	{from: 3s, latency: 15ms, faults: [
		{kind: "reset", share: 0.1}, {kind: "hang_body", share: 0.1}, {kind: "garbage", share: 0.05},
		{kind: "too_long", share: 0.05}, {kind: "trickle", share: 0.05}, {kind: "close", share: 0.2},
	]},
	{from: 3s, endpoint: 1, faults: [{kind: "busy", retry_after: 1s}]},
	{from: 8s, latency: 15ms, ramp: 2s, ramp_from: 10},
]}
names: {
	phases: [{latency: 8ms}, {from: 400ms, endpoint: 0, faults: [{kind: "error"}]}]
	repeat: 800ms
}
