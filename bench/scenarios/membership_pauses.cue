name: "a quarter paused for 5 s at random times"
seconds: 120s
deed: "pause"
count: 12
lasts: 5s
