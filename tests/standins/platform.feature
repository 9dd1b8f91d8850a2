Feature: Stand-in for the users' platform

  Scenario: No outgoing connection can take a port that was given out for a listener
    When 200 free addresses are given out
    Then all ports differ and none is among those of outgoing connections
