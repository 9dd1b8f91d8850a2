Feature: A process that starts does not search its own modules for garbage

  # Guards against RECOVER too late: all processes start at once, and a tenth of that was the collector.
  Scenario Outline: <process> starts
    Given the users' platform with two plain backends and two engines
    And <process>
    Then it has made no full collection of garbage
    And it collects the garbage of the requests that it answers

    Examples:
      | process                                             |
      | an entry process with 160 MB and 400 descriptors    |
      | an endpoint process with 160 MB and 400 descriptors |
      | a proxied entry process with 400 descriptors        |
      | a proxied endpoint process with 400 descriptors     |
