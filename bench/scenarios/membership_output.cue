name: "one member's whole output lost"
seconds: 40s
deed: "cut_output"
lasts: 20s
