// Elevations take ten times as long for five seconds, and never fail.
name: "one_slow"
#Well: {latency: 15ms, spread: 0.5}
elevation: {phases: [
	#Well,
	{from: 3s, latency: 150ms, spread: 0.5},
	#Well & {from: 8s},
]}
names: {phases: [{latency: 8ms}]}
