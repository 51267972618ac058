name: "most restart at once"
