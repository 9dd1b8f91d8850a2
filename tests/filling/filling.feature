Feature: Endpoint processes fill the engine beside them

  Scenario: A joined engine is filled, and each chunk is drawn from the origin once
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And an empty engine with its endpoint process
    Then the empty engine holds version 1 within 5 seconds
    And the engine took only whole chunks of version 1
    And the origin sent each chunk of version 1 at most once

  Scenario: A joined engine is filled from its neighbours while the origin is away
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the engines have endpoint processes and staged chunks
    And the manifest is known and the origin goes away
    And an empty engine with its endpoint process
    Then the empty engine holds version 1 within 5 seconds
    And the engine took only whole chunks of version 1

  Scenario: An engine whose chunks still lie beside it is loaded without its neighbours
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And an empty engine with its endpoint process
    Then the empty engine holds version 1 within 5 seconds
    When the origin and the entry process go away and the engine starts again with its process
    Then the empty engine holds version 1 within 5 seconds
    And the engine took only whole chunks of version 1

  Scenario: Digests of old versions are removed from the store
    When the digests of 8 versions are kept, one after the other
    Then the store has those of the newest 3

  Scenario: A spoilt chunk of the origin is never staged
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the origin spoils chunk 2 once
    And an empty engine with its endpoint process
    Then the empty engine holds version 1 within 5 seconds
    And the engine took only whole chunks of version 1

  Scenario: A chunk that rots before the order is staged anew
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And an empty engine with its endpoint process that holds rotten chunks
    Then the empty engine holds version 1 within 5 seconds
    And the engine took only whole chunks of version 1

  Scenario: Engines take their turns within the bound
    When turns are dealt to any number of engines
    Then all begin within the window and not two at the same time

  Scenario: Each zone keeps most of its engines while they load
    When engines of three zones are put in the order of their turns
    Then any three in a row are of different zones

  Scenario: An overtaken version is taken where both can be had, else by every second engine
    When a newer version is named at any time while the older one is staged
    Then some engine goes on
    And all go on where both can be staged in time

  Scenario: Endpoints of a region spread over its entry processes from the first chunk on
    When 9 endpoints of a region with 12 entry processes fetch 48 chunks
    Then each fetches every chunk once
    And no entry process is asked by more than 4 of them for their first chunk

  Scenario: Weights leave a link that has become narrow to requests
    Given chunks that are fetched over a link of a quarter of its rate
    Then on the whole no more than that is asked for, and the full rate once it is back
