Feature: The names of the users' platform
  Scenario: No module outside the platform folder knows them
    When the modules outside the platform folder are read
    Then none holds a header, path, key or field of the users' platform

  Scenario: Anything may lie under the keys of the store
    When any bytes and any JSON are decoded as registration, configuration and version
    Then each is a record or a typed fault
