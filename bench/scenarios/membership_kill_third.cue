name: "a third killed at once"
seconds: 20s
deed: "kill"
count: 16
