Feature: Callers are served while the platform's store is out

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: Callers go on and operators are told the truth
    Given callers near mtl who have long been asking for suivi
    When the store goes down
    And the operator tries to add a region
    Then the command ends with exit code 1
    And the operator is told that it was not run
    When the store comes back
    And the operator adds the region again
    Then the command ends with exit code 0
    And no caller was failed

  Scenario: The reply to a change is lost after it took effect
    Given the store loses the replies to the next 3 writes
    When the operator adds a region
    Then the command ends with exit code 0
    And the region is stored

  Scenario: A node that restarts in an outage learns from its peers
    Given the store is down
    When mtl-2 is replaced
    Then mtl-2 serves look-ups within 5000 ms
