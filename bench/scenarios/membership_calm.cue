name: "no fault"
seconds: 30s
