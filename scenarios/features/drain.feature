Feature: A leaving upstream receives no new work

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: An operator drains an upstream during opening hours
    Given callers near mtl who have long been asking for suivi
    When the operator drains upstream/suivi-mtl-1
    Then 2000 ms later suivi-mtl-1 receives no new work
    And no caller was failed

  Scenario: An upstream drains by itself
    Given callers near mtl who have long been asking for suivi
    When suivi-mtl-1 tells that it is draining
    Then 3000 ms later suivi-mtl-1 receives no new work
    And no caller was failed
