// Stand-in for names.example.org.
phases: [{latency: 8ms}]
