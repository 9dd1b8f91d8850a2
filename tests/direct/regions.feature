Feature: Requests stay in their allowed regions
  Runs on the stand-in of the users' platform: plain backends in zone-a, one engine in each zone.

  Background:
    Given the users' platform with two plain backends and two engines
    And two entry processes that are ready

  Scenario: Retries and resumed streams of every process stay in the allowed regions
    # Guards against a failed attempt being repeated at the only other engine, in another region.
    Given the routes "look,stream" allow only "region-a"
    And the engines break off every stream
    When 3 look-ups and 3 streams are sent to each entry process
    Then only backends in "zone-a" have got requests

  Scenario: The regions of a workspace hold for its requests on every route
    Given the workspace of the callers allows only "region-a"
    When 3 look-ups and 3 streams are sent to each entry process
    Then only backends in "zone-a" have got requests

  Scenario: A request without a backend in its allowed regions is refused at once, and counted
    Given the routes "look" allow only "region-b"
    Then a look-up is refused at once for "no-backend-in-region", and the metric counts it

  Scenario: Callers elsewhere are sent to entry processes in the allowed regions
    Given the routes "look,stream" allow only "region-b"
    Then a caller in neither region is sent to the entry process in zone-b only
