Feature: Boundary to the users' platform
  Scenario: Only the platform package contains wire names of the users' platform
    When the modules outside the platform package are read
    Then none holds a header, path, key or field of the users' platform

  Scenario: Malformed values in the store never raise an exception
    When any bytes and any JSON are decoded as registration, configuration and version
    Then each is a record or a typed fault
