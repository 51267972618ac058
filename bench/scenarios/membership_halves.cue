name: "halves cut for 20 s"
seconds: 40s
deed: "cut_halves"
lasts: 20s
