version: 1
dependencies: [
	{name: "elevation.example.org", endpoints: ["127.0.0.1:ELEVATION"]},
	{name: "names.example.org", endpoints: ["127.0.0.1:NAMES"]},
]
gathers: [
	{class: "tile", budget: 300ms, parts: [{name: "elevation", from: "elevation.example.org", path: "/e/{obj}", fresh_for: 1s, stale_for: 10s}, {name: "names", from: "names.example.org", path: "/n?{body}"}]},
	{class: "trail-report", budget: 300ms, parts: [{name: "names", from: "names.example.org", path: "/n?{body}", default: "none"}]},
]
