// Command teasel-node is the process that runs beside each upstream.
package main

func main() {}
