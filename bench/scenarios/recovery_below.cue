name: "most restart, services below"
things: 3000
