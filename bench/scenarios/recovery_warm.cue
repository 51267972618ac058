name: "processes alone restart, kernels stay warm"
kernels_too: false
