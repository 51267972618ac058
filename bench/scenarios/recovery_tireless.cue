name: "most restart, callers without limit"
tireless: 1
heeding: 0
sticky: 0
