version: 1
dependencies: [
	{name: "elevation.example.org", endpoints: ["127.0.0.1:ELEVATION"]},
	{name: "names.example.org", endpoints: ["127.0.0.1:NAMES"]},
]
gathers: [
	{class: "tile", budget: 300ms, parts: [{name: "elevation", from: "elevation.example.org", path: "/e/{obj}"}]},
	{class: "trail-report", budget: 300ms, parts: [{name: "elevation", from: "elevation.example.org", path: "/e/{obj}"}]},
]
