Feature: Connections of callers and the limit of descriptors
  Runs on the stand-in of the users' platform, with real sockets on loopback.

  Background:
    Given the users' platform with two plain backends and two engines

  Scenario: Connections end at the limits of the configuration in force
    Guards against connections that are kept for 75 s whatever the configuration says.
    Given limits of 800 ms for idle connections and 300 ms for headers
    And one entry process that is ready
    When callers connect that have an answer, send nothing, or send a part of a header
    Then the last of them gets a 408 after 0.3 to 0.8 s, the others are closed after 0.8 to 1.3 s
    When the limits become 30000 ms and 3000 ms, and callers connect once more
    Then all connections are open after 1.2 s
    When the limits become 500 ms and 300 ms, all connections are closed within 1 s

  Scenario: At the limit of descriptors the connections that are idle longest are closed
    Guards against a process that closes new connections unread and says that it is ready.
    Given a limit of 80 descriptors
    And one entry process that is ready
    When 100 callers get an answer, one each 20 ms, and keep their connections
    Then only the first of them are closed, 50 to 60 are open and the process is ready

  Scenario: Without a descriptor to spare requests are refused with whole answers
    Guards against connections that are closed unread, and a process that says that it is ready.
    Given a limit of 200 descriptors
    And one entry process that is ready
    When 75 callers send a part of a body, and 8 callers look something up
    Then these get a 503 that says not-run, with a Retry-After and a close
    And the process is not ready, and reports its connections
    When the callers leave, the process is ready within 3 s and serves a look-up

  Scenario: A send without a descriptor is no failure of the backend
    Guards against a process that sends nothing to idle backends after a lack of descriptors.
    Given sends that get no descriptor
    And one entry process that is ready
    When callers look something up 5 times without success
    Then they are refused for lack of descriptors, and no backend is blamed
    When there are descriptors again, the next look-up is served

  # Guards against callers whose bytes without end stop the requests of all others.
  Scenario Outline: A caller that sends <what> without end is cut off
    Given one entry process that is ready
    When a caller sends <what> without end
    Then its connection ends before 64 MiB
    And a look-up of another caller is served

    Examples: bytes
      | what                |
      | empty lines         |
      | a request line      |
      | a header name       |
      | a header value      |
      | header lines        |
      | a chunk size        |
      | a chunk extension   |
      | chunks of one byte  |
      | trailers            |
      | a body that is long |

  # Guards against a limit on bytes that cuts off callers who send much, but ask for all of it.
  Scenario: Callers whose bodies, heads or pipelines are large are served
    Given one entry process that is ready
    When a caller pipelines 2000 look-ups, and bodies of 1 MB in chunks of 64 bytes
    Then each of its requests has an answer
