name: "20 % loss on every pair"
seconds: 120s
loss: 0.2
