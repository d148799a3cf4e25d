// Package balance decides the weights of targets in the order of affinity keys.
//
// It answers load that is unevenly distributed over targets: keys are assigned to targets by hash, so
// that by chance some targets get far more than others. Requests queue there while half of the targets
// are less than half full. The weight of an overloaded target falls, which moves a few of its keys to
// the next targets in their orders, and rises slowly once the target has room. Where all targets are
// equally loaded, nothing moves: a moved key runs cold once, which takes 3.3 times as long.
//
// All VMs that place requests must use the same weights, or keys run cold. So one VM of each region,
// the balancer, computes them: it holds a [Region]. Every VM keeps what balancers send in a [Holder].
package balance
