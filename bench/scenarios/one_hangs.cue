// Elevations hang for five seconds: connections are accepted, requests read, and nothing is answered.
name: "one_hangs"
#Well: {latency: 15ms, spread: 0.5}
elevation: {phases: [
	#Well,
	#Well & {from: 3s, faults: [{kind: "hang"}]},
	#Well & {from: 8s},
]}
names: {phases: [{latency: 8ms}]}
