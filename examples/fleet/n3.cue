// Operator file of process 3 of 3 in the membership example. Run: sh examples/fleet/three.sh
version: 1
dependencies: []
gathers: []
membership: {
	cluster: "try"
	bind:    "127.0.0.1:9103"
	seeds: ["127.0.0.1:9101", "127.0.0.1:9102", "127.0.0.1:9103"]
	zone:   "z3"
	period: 200ms
}
