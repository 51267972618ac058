// Stand-in for elevation.example.org: answers most requests, and hangs for five seconds of every thirty.
phases: [
	{latency: 15ms, spread: 0.5, faults: [{kind: "error", share: 0.02}]},
	{from: 25s, faults: [{kind: "hang"}]},
]
repeat: 30s
