name: "one killed"
seconds: 15s
deed: "kill"
