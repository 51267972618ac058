// Elevations hang and names answer with errors, for the same five seconds.
name: "both_down"
elevation: {phases: [
	{latency: 15ms, spread: 0.5},
	{from: 3s, faults: [{kind: "hang"}]},
	{from: 8s, latency: 15ms, spread: 0.5},
]}
names: {phases: [
	{latency: 8ms},
	{from: 3s, latency: 8ms, faults: [{kind: "error"}]},
	{from: 8s, latency: 8ms},
]}
