Feature: Stand-in for the key-value store of the users' platform

  Scenario: A lease is not granted under the id of one that another process holds
    Given a store that has granted two leases
    When the first lease ends and another is granted
    Then its id is not that of the second
