Feature: Requests of the proxied mode in progress while the configuration changes

  # Guards against requests that are lost as their service or release is taken away.
  Scenario: Requests that run or wait when their service is taken away are answered
    Given running processes with a service that takes 0.6 s, one request at a time
    When 3 requests are in progress and a manifest comes without services and releases
    Then each is answered by the service, and the next one is refused as not run with 404
