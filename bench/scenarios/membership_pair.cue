name: "one pair cut one way"
seconds: 40s
deed: "cut_pair"
lasts: 25s
