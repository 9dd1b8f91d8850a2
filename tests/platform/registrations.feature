Feature: Keys that a process keeps alive in the leased store

  Scenario: A registration that the store carries out late stays as long as it is renewed
    # Guards against a key that is bound to a lease which nobody renews.
    Given a store that has granted two leases
    When the first write of a registration is carried out 0.6 s late, without an answer
    And the registration is kept alive meanwhile, for three times its time to live
    Then the store still holds it

  Scenario: A registration that is ended while its first write is under way is not there later
    Given a store that has granted two leases
    When the first write of a registration is carried out 0.6 s late, without an answer
    And the registration is ended before that
    Then the store does not hold it
