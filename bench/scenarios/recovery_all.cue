name: "all restart at once, wiped"
share: 1
wipe: true
