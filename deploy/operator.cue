// Example of an operator file: route profiles fetch elevations and place names from two dependencies.
// `granitegap check deploy/operator.cue` checks it against the schema; `granitegap serve --operator deploy/operator.cue`
// serves with it. The platform's `run` line does not use it.

version: 1

#Below: {
	timeout_most: 500ms
	most_open:    32
}

dependencies: [
	#Below & {
		name: "elevation.example.org"
		endpoints: ["127.0.0.1:9001", "127.0.0.1:9002"]
	},
	#Below & {
		name: "names.example.org"
		endpoints: ["127.0.0.1:9003"]
		hedge_after: 0 // only one endpoint: a hedged request would go to the same one
	},
]

gathers: [{
	class:  "route-profile"
	budget: 300ms
	parts: [
		{
			name:      "elevation"
			from:      "elevation.example.org"
			path:      "/elevation?route={body}"
			fresh_for: 10s
			stale_for: 10m
		},
		{
			name:      "names"
			from:      "names.example.org"
			path:      "/names?route={body}"
			within:    200ms
			fresh_for: 60s
			stale_for: 24h
			default:   ""
		},
	]
}]

cache: 8MiB
