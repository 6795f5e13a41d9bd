package mesh

// CountReach gives the tests access to countReach.
var CountReach = countReach
