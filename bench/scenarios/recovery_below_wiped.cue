name: "most restart, services below, wiped"
things: 3000
wipe: true
